"""How long to wait for the store's answer to a transaction.

A short wait finds a lost answer soon. But a store that is slow, or in which many
transactions wait, carries out what was given up on and repeated, and has less time for
everything else; so the wait follows how long answers take.
"""

MIN_SECONDS = 0.6
MAX_SECONDS = 1.6  # the store refuses what would wait for more than a second in it
ANSWER_RATIO = 8.0  # a transaction takes longer than other calls, and waits for others
SILENCE_RATIO = 2.0


class AnswerTimeout:
    """Timeout of the next transaction, from the outcomes of the last ones."""

    def __init__(self) -> None:
        self.seconds = MIN_SECONDS

    def note_answer(self, seconds: float) -> None:
        """Take in how long an answer took, to a transaction or another call."""
        self.seconds = min(MAX_SECONDS, max(MIN_SECONDS, ANSWER_RATIO * seconds))

    def note_silence(self) -> None:
        """Take in that no answer came in time."""
        self.seconds = min(MAX_SECONDS, SILENCE_RATIO * self.seconds)
