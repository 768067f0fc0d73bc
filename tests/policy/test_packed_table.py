"""The packed table against a dictionary."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from load_balancer.policy import packed_table as rows
from load_balancer.policy.packed_table import PackedTable


@settings(deadline=None, max_examples=150)
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 2**64 - 1), st.integers(0, 9)), max_size=80))
def test_the_table_is_a_sorted_map_however_often_it_is_split(steps: list[tuple[bool, int, int]]) -> None:
    kept, least = {}, rows.MAX_MEAN_BUCKET_ROWS
    rows.MAX_MEAN_BUCKET_ROWS = 2
    try:
        packed = PackedTable("<q")
        for put, key, value in steps:
            key = key if value else key & 0xFF << 56  # some again and again, at the pieces' ends
            if put:
                packed.put(key, value)
                kept[key] = (value,)
            else:
                packed.pop(key)
                kept.pop(key, None)
            assert packed.get(key) == kept.get(key) and (key in packed) is (key in kept)
        assert list(packed.items()) == sorted(kept.items()) and len(packed) == len(kept)
        low, high = sorted((steps[0][1], steps[-1][1])) if steps else (0, 1)
        inside = [(key, row) for key, row in sorted(kept.items()) if low <= key < high]
        assert list(packed.items(low, high)) == inside
    finally:
        rows.MAX_MEAN_BUCKET_ROWS = least
