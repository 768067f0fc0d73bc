"""PackedTable compared with a dictionary."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from load_balancer.policy import packed_table
from load_balancer.policy.packed_table import PackedTable


@settings(deadline=None, max_examples=150)
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 2**64 - 1), st.integers(0, 9)), max_size=80))
def test_table_equals_sorted_dictionary_through_bucket_splits(steps: list[tuple[bool, int, int]]) -> None:
    expected, default_bucket_rows = {}, packed_table.MAX_MEAN_BUCKET_ROWS
    packed_table.MAX_MEAN_BUCKET_ROWS = 2  # few rows are enough for several splits
    try:
        table = PackedTable("<q")
        for put, key, value in steps:
            # For value 0, only the top 8 bits of the key are kept: such keys repeat, and lie at the lower
            # ends of buckets.
            key = key if value else key & 0xFF << 56
            if put:
                table.put(key, value)
                expected[key] = (value,)
            else:
                table.pop(key)
                expected.pop(key, None)
            assert table.get(key) == expected.get(key) and (key in table) is (key in expected)
        assert list(table.items()) == sorted(expected.items()) and len(table) == len(expected)
        low, high = sorted((steps[0][1], steps[-1][1])) if steps else (0, 1)
        in_range = [(key, row) for key, row in sorted(expected.items()) if low <= key < high]
        assert list(table.items(low, high)) == in_range
    finally:
        packed_table.MAX_MEAN_BUCKET_ROWS = default_bucket_rows
