"""Lower bounds of fencing tokens and epochs for each era of the store."""

NUMBERS_PER_ERA = 2**24
"""At one token a second an era lasts half a year before its numbers reach those of the next one; a
leader that knows higher numbers continues from them. The product with an era below 2**29 is exact
in a 64-bit float."""


def first_number(era: int) -> int:
    """Return the number above which all tokens and epochs of an era lie.

    Numbers restart above those of earlier eras: the rows with the highest ones may be lost with an
    era while servers still hold keys under them.
    """
    return era * NUMBERS_PER_ERA
