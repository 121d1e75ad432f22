"""Learn how much backfill of each image slows services of each image.

The tail latency of a service is taken to be a base plus, for each image of backfill
beside it, a slope times the share of the worker's processors that this image uses.
Slopes are fitted by non-negative least squares over all reports, older ones fading.
"""

import dataclasses
import math
from collections.abc import Mapping

BASE = ""  # key of the base among the coefficients
FADING = 0.9999  # weight that an observation keeps with each later one
RIDGE = 0.2  # keeps the slopes of images that were hardly seen near zero
PASSES = 6  # of coordinate descent after each batch of observations
UNKNOWN_LIKENESS = 0.4  # of services about which nothing was learnt
OUTLIER_RATIO = 4.0  # tails are cut at this many targets


@dataclasses.dataclass(slots=True)
class TailFit:
    """Least squares fit of one service image's tail latency, in milliseconds."""

    moments: dict[tuple[str, str], float] = dataclasses.field(default_factory=dict)
    products: dict[str, float] = dataclasses.field(default_factory=dict)
    coefficients: dict[str, float] = dataclasses.field(default_factory=dict)

    def observe(self, share_by_image: Mapping[str, float], tail_ms: float) -> None:
        """Take in one observation."""
        inputs = {BASE: 1.0, **share_by_image}
        for key in self.moments:
            self.moments[key] *= FADING
        for name in self.products:
            self.products[name] *= FADING
        for first, value in inputs.items():
            self.products[first] = self.products.get(first, 0.0) + value * tail_ms
            for second, other in inputs.items():
                key = (first, second)
                self.moments[key] = self.moments.get(key, 0.0) + value * other

    def fit(self) -> None:
        """Improve the coefficients by coordinate descent."""
        for _ in range(PASSES):
            for name, product in self.products.items():
                rest = sum(
                    self.moments.get((name, other), 0.0) * value
                    for other, value in self.coefficients.items()
                    if other != name
                )
                square = self.moments.get((name, name), 0.0) + RIDGE
                self.coefficients[name] = max(0.0, (product - rest) / square)


class InterferenceModel:
    """Slopes for all pairs of a service image and a backfill image."""

    def __init__(self) -> None:
        self._fit_by_image: dict[str, TailFit] = {}

    def observe(
        self,
        service_image: str,
        share_by_image: Mapping[str, float],
        tail_ms: float,
        target_ms: float,
    ) -> None:
        """Take in a tail latency and the shares of processors beside it."""
        fit = self._fit_by_image.setdefault(service_image, TailFit())
        fit.observe(share_by_image, min(tail_ms, OUTLIER_RATIO * target_ms))

    def fit(self) -> None:
        """Improve all coefficients with what was observed since."""
        for fit in self._fit_by_image.values():
            fit.fit()

    def slope_ms(self, service_image: str, backfill_image: str) -> float:
        """Return the latency added by backfill on all of a worker's processors."""
        fit = self._fit_by_image.get(service_image)
        return fit.coefficients.get(backfill_image, 0.0) if fit else 0.0

    def likeness(self, first_image: str, second_image: str) -> float:
        """Return how alike two services answer to backfill, from 0 to 1."""
        if first_image == second_image:
            return 1.0
        first = self._slopes_of(first_image)
        second = self._slopes_of(second_image)
        norm = math.hypot(*first.values()) * math.hypot(*second.values())
        if norm <= 0:
            return UNKNOWN_LIKENESS
        product = sum(slope * second.get(image, 0.0) for image, slope in first.items())
        return product / norm

    def _slopes_of(self, service_image: str) -> dict[str, float]:
        fit = self._fit_by_image.get(service_image)
        coefficients = fit.coefficients if fit else {}
        return {image: value for image, value in coefficients.items() if image != BASE}

    def base_ms(self, service_image: str) -> float:
        """Return the tail latency of a service without backfill beside it."""
        fit = self._fit_by_image.get(service_image)
        return fit.coefficients.get(BASE, 0.0) if fit else 0.0
