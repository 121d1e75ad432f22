"""Estimate how much backfill of each image inflates the latency of each service image.

The logarithm of a service's tail latency is modeled as an intercept plus, for each
image of backfill beside it, a slope times the share of the worker's CPU that this image
uses; on the latency itself, interference is multiplicative. The coefficients are fitted
by non-negative least squares over all reports, with exponentially decaying weights.
"""

import dataclasses
import math
from collections.abc import Mapping

INTERCEPT = ""  # key of the intercept among the coefficients
DECAY_FACTOR = 0.9999  # of the weight of older observations, for each new one
RIDGE_PENALTY = 0.02  # keeps the slopes of rarely observed images near zero
PASSES_PER_FIT = 6  # of coordinate descent
MIN_EVIDENCE = 0.04  # about four reports with the image on a tenth of the CPU
UNKNOWN_SIMILARITY = 0.4  # if a service has no slope above zero yet
MIN_TAIL_MS = 0.5  # reports are in whole milliseconds and may be 0


@dataclasses.dataclass(slots=True)
class TailFit:
    """Least squares fit of the logarithm of one service image's tail latency.

    ``moments`` and ``products`` are the sums of the normal equations. To decay older
    observations, `observe` increases the ``weight`` of the next one instead of scaling
    all sums; `normalize` scales them.
    """

    moments: dict[tuple[str, str], float] = dataclasses.field(default_factory=dict)
    products: dict[str, float] = dataclasses.field(default_factory=dict)
    coefficients: dict[str, float] = dataclasses.field(default_factory=dict)
    weight: float = 1.0

    def observe(self, share_by_image: Mapping[str, float], log_tail: float) -> None:
        """Add one observation."""
        inputs = {INTERCEPT: 1.0, **share_by_image}
        self.weight /= DECAY_FACTOR
        for first, value in inputs.items():
            weighted = self.weight * value
            self.products[first] = self.products.get(first, 0.0) + weighted * log_tail
            for second, other in inputs.items():
                key = (first, second)
                self.moments[key] = self.moments.get(key, 0.0) + weighted * other

    def normalize(self) -> None:
        """Scale the sums down, so that the newest observation has weight one."""
        for key in self.moments:
            self.moments[key] /= self.weight
        for name in self.products:
            self.products[name] /= self.weight
        self.weight = 1.0

    def evidence(self, image: str) -> float:
        """Return the decayed sum of the squared CPU shares observed of an image."""
        return self.moments.get((image, image), 0.0) / self.weight

    def fit(self) -> None:
        """Update the coefficients by coordinate descent."""
        for _ in range(PASSES_PER_FIT):
            for name, product in self.products.items():
                rest = sum(
                    self.moments.get((name, other), 0.0) * value
                    for other, value in self.coefficients.items()
                    if other != name
                )
                square = (
                    self.moments.get((name, name), 0.0) + RIDGE_PENALTY * self.weight
                )
                self.coefficients[name] = max(0.0, (product - rest) / square)


def log_tail(tail_ms: float) -> float:
    """Return the logarithm of a tail latency in milliseconds."""
    return math.log(max(MIN_TAIL_MS, tail_ms))


class InterferenceModel:
    """Slopes for all pairs of a service image and a backfill image."""

    def __init__(self) -> None:
        self._fit_by_image: dict[str, TailFit] = {}
        self._changed: set[str] = set()
        self._similarity_by_pair: dict[tuple[str, str], float] = {}  # of the last fit

    def restore(self, service_image: str, fit: TailFit) -> None:
        """Take over the fit of an earlier lease holder."""
        self._fit_by_image[service_image] = fit
        fit.fit()
        self._similarity_by_pair.clear()

    def take_changed(self) -> dict[str, TailFit]:
        """Return the fits that changed since the last call, by service image."""
        changed = {image: self._fit_by_image[image] for image in self._changed}
        for fit in changed.values():
            fit.normalize()
        self._changed.clear()
        return changed

    def observe(
        self,
        service_image: str,
        share_by_image: Mapping[str, float],
        tail_ms: float,
    ) -> None:
        """Add a tail latency and the CPU shares of the backfill beside it."""
        fit = self._fit_by_image.setdefault(service_image, TailFit())
        fit.observe(share_by_image, log_tail(tail_ms))
        self._changed.add(service_image)

    def fit(self) -> None:
        """Update the coefficients of all fits."""
        for fit in self._fit_by_image.values():
            fit.fit()
        self._similarity_by_pair.clear()

    def slope(self, service_image: str, backfill_image: str) -> float:
        """Return what backfill on a whole worker adds to the log tail latency."""
        fit = self._fit_by_image.get(service_image)
        return fit.coefficients.get(backfill_image, 0.0) if fit else 0.0

    def is_known(self, service_image: str, backfill_image: str) -> bool:
        """Return whether a pair has enough observations to rely on its slope."""
        fit = self._fit_by_image.get(service_image)
        return fit is not None and fit.evidence(backfill_image) >= MIN_EVIDENCE

    def similarity(self, first_image: str, second_image: str) -> float:
        """Return the cosine similarity of the slopes of two services, from 0 to 1."""
        if first_image == second_image:
            return 1.0
        pair = (first_image, second_image)
        similarity = self._similarity_by_pair.get(pair)
        if similarity is None:
            similarity = self._compute_similarity(*pair)
            self._similarity_by_pair[pair] = similarity
        return similarity

    def _compute_similarity(self, first_image: str, second_image: str) -> float:
        first = self._slopes_of(first_image)
        second = self._slopes_of(second_image)
        norm = math.hypot(*first.values()) * math.hypot(*second.values())
        if norm <= 0:
            return UNKNOWN_SIMILARITY
        product = sum(slope * second.get(image, 0.0) for image, slope in first.items())
        return product / norm

    def _slopes_of(self, service_image: str) -> dict[str, float]:
        fit = self._fit_by_image.get(service_image)
        coefficients = fit.coefficients if fit else {}
        return {
            image: value for image, value in coefficients.items() if image != INTERCEPT
        }

    def intercept(self, service_image: str) -> float:
        """Return the log tail latency of a service without backfill."""
        fit = self._fit_by_image.get(service_image)
        return fit.coefficients.get(INTERCEPT, 0.0) if fit else 0.0
