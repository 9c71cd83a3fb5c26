"""Fencing tokens and epochs that no earlier era of the store can have given out."""

NUMBERS_PER_ERA = 2**24
"""At one token a second an era lasts half a year before it reaches the numbers of the next one; a
leader that remembers higher ones goes on from these. The product with an era below 2**29 can be
told exactly by a float of 64 bits."""


def first_number(era: int) -> int:
    """Return the number above which those of an era lie.

    Rows of the highest numbers may be lost with the era, while servers still hold keys under them.
    """
    return era * NUMBERS_PER_ERA
