"""What all servers of a service have in common: how long work takes there.

The time to the first event is modelled as a constant, a time for each token that has to be read
first, and a time for each request at the server. The three are learnt from the answers of all
servers by least squares, so that a new server has a first guess. Nothing here is a
property of a particular engine.
"""

import math

TOKENS_UNIT = 1000.0
"""Unit of the tokens in the regression; brings its inputs to similar magnitude."""
LOAD_UNIT = 10.0
"""Unit of the requests at a server in the regression."""
KEPT_WEIGHT = 0.995
"""Weight that older answers keep with each new one; the latest 200 or so answers count."""
FIRST_GUESS_WEIGHT = 0.01
"""Weight of the first guess against one answer; small, so that the first answers replace it."""
MIN_PIVOT = 1e-9
"""Least pivot of the elimination, so that inputs that are always alike cause no division by 0."""
OUTLIER_FACTOR = 3.0
"""Error that counts at most, as a multiple of the usual error."""
MIN_LEARNT_ANSWERS = 8
"""Answers before the usual error is known well enough to bound others."""
FIRST_GUESS = (0.0, 1e-3, 1e-3)
"""Coefficients before the first answer: they only rank the servers, by tokens and load."""
SMOOTHING_FACTOR = 0.05
"""Weight of the latest value in the smoothed run time, pause and load."""
MIN_ANSWER_SECONDS = 1e-3
"""Least expected time to an answer, so that ratios to it stay finite."""


class FirstEventModel:
    """Predicts the time to the first event from the tokens to read and the load.

    Least squares with exponentially decaying weights. No coefficient may be negative: neither
    tokens nor load make an answer earlier, and a choice by such a prediction would seek load.
    """

    __slots__ = ("_answer_count", "_coefficients", "_products", "_targets", "_usual_error_seconds")

    def __init__(self):
        """Creates the model with guesses that only rank the servers."""
        self._coefficients = FIRST_GUESS
        self._products = [[FIRST_GUESS_WEIGHT * (i == j) for j in range(3)] for i in range(3)]
        self._targets = [FIRST_GUESS_WEIGHT * guess for guess in FIRST_GUESS]
        self._answer_count = 0
        self._usual_error_seconds = 0.0

    @property
    def is_learnt(self) -> bool:
        """Whether predictions are times, and not only ranks."""
        return self._answer_count >= MIN_LEARNT_ANSWERS

    @property
    def base_seconds(self) -> float:
        """Time to the first event at an idle server without anything to read."""
        return self._coefficients[0]

    @property
    def seconds_per_token(self) -> float:
        """Time for each token that has to be read before the first event."""
        return self._coefficients[1] / TOKENS_UNIT

    @property
    def seconds_per_request(self) -> float:
        """Time for each other request at the server."""
        return self._coefficients[2] / LOAD_UNIT

    def predict(self, tokens: float, load: float) -> float:
        """Returns the expected seconds to the first event at a server of usual speed."""
        base, per_token, per_request = self._coefficients
        seconds = base + per_token * tokens / TOKENS_UNIT + per_request * load / LOAD_UNIT
        return max(MIN_ANSWER_SECONDS, seconds)

    def learn(self, tokens: float, load: float, seconds: float) -> None:
        """Adjusts the coefficients to an answer; an outlier counts as a bounded error."""
        expected_seconds = self.predict(tokens, load)
        seconds = expected_seconds + self._bound_error(seconds - expected_seconds)
        inputs = (1.0, tokens / TOKENS_UNIT, load / LOAD_UNIT)
        for row, own in zip(self._products, inputs, strict=True):
            for j in range(3):
                row[j] = KEPT_WEIGHT * row[j] + own * inputs[j]
        for i in range(3):
            self._targets[i] = KEPT_WEIGHT * self._targets[i] + inputs[i] * seconds
        self._answer_count += 1
        self._coefficients = fit_non_negative(self._products, self._targets)

    def _bound_error(self, error: float) -> float:
        """Bounds an error by the usual one and updates the latter."""
        if self.is_learnt:
            bound = OUTLIER_FACTOR * self._usual_error_seconds
            error = min(bound, max(-bound, error))
        weight = max(SMOOTHING_FACTOR, 1.0 / (self._answer_count + 1))
        self._usual_error_seconds += weight * (abs(error) - self._usual_error_seconds)
        return error


def fit_non_negative(products: list[list[float]], targets: list[float]) -> tuple[float, ...]:
    """Returns the coefficients of least squares, leaving out inputs that would get negative ones.

    Args:
        products: Weighted sums of the products of the inputs.
        targets: Weighted sums of each input times the result.
    """
    used = list(range(len(targets)))
    while used:
        solution = _solve(
            [[products[i][j] for j in used] for i in used], [targets[i] for i in used]
        )
        if min(solution) >= 0.0:
            coefficients = dict(zip(used, solution, strict=True))
            return tuple(coefficients.get(i, 0.0) for i in range(len(targets)))
        del used[solution.index(min(solution))]
    return (0.0,) * len(targets)


def _solve(matrix: list[list[float]], right: list[float]) -> list[float]:
    """Solves a positive definite system of at most three equations by elimination."""
    size = len(right)
    for i in range(size):
        pivot = max(matrix[i][i], MIN_PIVOT)
        for k in range(i + 1, size):
            factor = matrix[k][i] / pivot
            for j in range(i, size):
                matrix[k][j] -= factor * matrix[i][j]
            right[k] -= factor * right[i]
    solution = [0.0] * size
    for i in reversed(range(size)):
        known = sum(matrix[i][j] * solution[j] for j in range(i + 1, size))
        solution[i] = (right[i] - known) / max(matrix[i][i], MIN_PIVOT)
    return solution


class SmoothedValue:
    """Exponentially smoothed value in which one outlier counts as a bounded one."""

    __slots__ = ("_max_factor", "_value", "_weight")

    def __init__(self, *, weight: float = SMOOTHING_FACTOR, max_factor: float = 8.0):
        """Creates it without a value.

        Args:
            weight: Weight of the latest value.
            max_factor: Largest value that counts, as a multiple of the present one.
        """
        self._weight = weight
        self._max_factor = max_factor
        self._value = math.nan

    @property
    def value(self) -> float:
        """The smoothed value; 0 before the first one."""
        return 0.0 if math.isnan(self._value) else self._value

    def add(self, value: float) -> None:
        """Adds a value."""
        if math.isnan(self._value):
            self._value = value
            return
        if self._value > 0.0:
            value = min(value, self._max_factor * self._value)
        self._value += self._weight * (value - self._value)


class ServiceSpeed:
    """What is learnt from the answers of all servers of one service.

    Attributes:
        first_event: Predicts the time to the first event.
        run_seconds: Time from sending a request to its end, for which it takes a slot.
        pause_seconds: Time between events of a stream.
        others_load: Requests of other routers at a server.
        new_tokens: Tokens that a request adds to the memory of its server.
        request_tokens: Tokens of the memory that a request needs while it runs.
        first_sent_seconds: Monotonic time of the first request.
        tightest_gap_seconds: Least target for pauses among the routes; 0 if none has one.
    """

    __slots__ = (
        "first_event",
        "first_sent_seconds",
        "new_tokens",
        "others_load",
        "pause_seconds",
        "request_tokens",
        "run_seconds",
        "tightest_gap_seconds",
    )

    def __init__(self):
        """Creates it without any answer."""
        self.first_event = FirstEventModel()
        self.run_seconds = SmoothedValue()
        self.pause_seconds = SmoothedValue()
        self.others_load = SmoothedValue(max_factor=math.inf)
        self.new_tokens = SmoothedValue()
        self.request_tokens = SmoothedValue()
        self.first_sent_seconds = math.inf
        self.tightest_gap_seconds = 0.0

    def estimate_run(self, now_seconds: float) -> float:
        """Returns how long a request takes a slot, in seconds.

        Before one has ended, that is at least the time since the first was sent.
        """
        return self.run_seconds.value or max(0.0, now_seconds - self.first_sent_seconds)

    def note_gap_target(self, seconds: float) -> None:
        """Takes note of the target for pauses of a route; 0 if it has none."""
        if seconds > 0.0 and (
            not self.tightest_gap_seconds or seconds < self.tightest_gap_seconds
        ):
            self.tightest_gap_seconds = seconds
