/* Preloaded into a node: system calls fail as Linux documents, one in SHIM_ONE_IN, by the seed SHIM_SEED.
 * accept and connect fail for a moment; reads and writes on sockets are short. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

static uint64_t state;
static unsigned one_in;

__attribute__((constructor)) static void read_settings(void) {
    const char *seed = getenv("SHIM_SEED"), *rate = getenv("SHIM_ONE_IN");
    state = (seed ? strtoull(seed, NULL, 10) : 1) * 2654435761u + 1;
    one_in = rate ? (unsigned)atoi(rate) : 0;
}

/* xorshift64: whether this call fails. */
static int fails(void) {
    if (!one_in) return 0;
    state ^= state << 13, state ^= state >> 7, state ^= state << 17;
    return state % one_in == 0;
}

static int fail_with(const int *errors, int count) {
    errno = errors[(state >> 32) % (unsigned)count];
    return -1;
}

static int is_socket(int fd) {
    int type;
    socklen_t size = sizeof type;
    int saved = errno, result = getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0;
    errno = saved;
    return result;
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR, ENOMEM};
    if (!real) real = (int (*)(int, struct sockaddr *, socklen_t *, int))dlsym(RTLD_NEXT, "accept4");
    return fails() ? fail_with(errors, 5) : real(fd, address, size, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ECONNREFUSED};
    if (!real) real = (int (*)(int, const struct sockaddr *, socklen_t))dlsym(RTLD_NEXT, "connect");
    return fails() ? fail_with(errors, 4) : real(fd, address, size);
}

ssize_t read(int fd, void *buffer, size_t size) {
    static ssize_t (*real)(int, void *, size_t);
    if (!real) real = (ssize_t (*)(int, void *, size_t))dlsym(RTLD_NEXT, "read");
    return real(fd, buffer, size > 1 && is_socket(fd) && fails() ? 1 + size / 1024 : size);
}

ssize_t write(int fd, const void *buffer, size_t size) {
    static ssize_t (*real)(int, const void *, size_t);
    if (!real) real = (ssize_t (*)(int, const void *, size_t))dlsym(RTLD_NEXT, "write");
    return real(fd, buffer, size > 1 && is_socket(fd) && fails() ? 1 + size / 2 : size);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    static ssize_t (*real)(int, const struct iovec *, int);
    if (!real) real = (ssize_t (*)(int, const struct iovec *, int))dlsym(RTLD_NEXT, "writev");
    return real(fd, parts, count > 1 && is_socket(fd) && fails() ? 1 : count);
}
