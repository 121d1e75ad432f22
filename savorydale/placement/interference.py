"""Learn how much backfill of each image slows services of each image.

The logarithm of a service's tail latency is taken to be a base plus, for each image of
backfill beside it, a slope times the share of the worker's processors that this image
uses: interference multiplies. Slopes are fitted by non-negative least squares over all
reports, older ones fading.
"""

import dataclasses
import math
from collections.abc import Mapping

BASE = ""  # key of the base among the coefficients
FADING = 0.9999  # weight that an observation keeps with each later one
RIDGE = 0.02  # keeps the slopes of images that were hardly seen near zero
PASSES = 6  # of coordinate descent after each batch of observations
KNOWN_EVIDENCE = 0.04  # about four reports beside a tenth of the processors
UNKNOWN_LIKENESS = 0.4  # of services about which nothing was learnt
MIN_TAIL_MS = 0.5  # reports are in whole milliseconds


@dataclasses.dataclass(slots=True)
class TailFit:
    """Least squares fit of the logarithm of one service image's tail latency.

    Older observations fade: rather than all that is known, the ``weight`` of the next
    observation changes, until `normalize`.
    """

    moments: dict[tuple[str, str], float] = dataclasses.field(default_factory=dict)
    products: dict[str, float] = dataclasses.field(default_factory=dict)
    coefficients: dict[str, float] = dataclasses.field(default_factory=dict)
    weight: float = 1.0

    def observe(self, share_by_image: Mapping[str, float], log_tail: float) -> None:
        """Take in one observation."""
        inputs = {BASE: 1.0, **share_by_image}
        self.weight /= FADING
        for first, value in inputs.items():
            weighted = self.weight * value
            self.products[first] = self.products.get(first, 0.0) + weighted * log_tail
            for second, other in inputs.items():
                key = (first, second)
                self.moments[key] = self.moments.get(key, 0.0) + weighted * other

    def normalize(self) -> None:
        """Fade what was observed, so that the next observation weighs one."""
        for key in self.moments:
            self.moments[key] /= self.weight
        for name in self.products:
            self.products[name] /= self.weight
        self.weight = 1.0

    def evidence(self, image: str) -> float:
        """Return how much was seen of an image, in squared shares of processors."""
        return self.moments.get((image, image), 0.0) / self.weight

    def fit(self) -> None:
        """Improve the coefficients by coordinate descent."""
        for _ in range(PASSES):
            for name, product in self.products.items():
                rest = sum(
                    self.moments.get((name, other), 0.0) * value
                    for other, value in self.coefficients.items()
                    if other != name
                )
                square = self.moments.get((name, name), 0.0) + RIDGE * self.weight
                self.coefficients[name] = max(0.0, (product - rest) / square)


def log_tail(tail_ms: float) -> float:
    """Return the logarithm of a tail latency in milliseconds."""
    return math.log(max(MIN_TAIL_MS, tail_ms))


class InterferenceModel:
    """Slopes for all pairs of a service image and a backfill image."""

    def __init__(self) -> None:
        self._fit_by_image: dict[str, TailFit] = {}
        self._changed: set[str] = set()

    def restore(self, service_image: str, fit: TailFit) -> None:
        """Take over what an earlier holder of the lease has learnt."""
        self._fit_by_image[service_image] = fit
        fit.fit()

    def take_changed(self) -> dict[str, TailFit]:
        """Return what was learnt since the last call, by service image."""
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
        """Take in a tail latency and the shares of processors beside it."""
        fit = self._fit_by_image.setdefault(service_image, TailFit())
        fit.observe(share_by_image, log_tail(tail_ms))
        self._changed.add(service_image)

    def fit(self) -> None:
        """Improve all coefficients with what was observed since."""
        for fit in self._fit_by_image.values():
            fit.fit()

    def slope(self, service_image: str, backfill_image: str) -> float:
        """Return what backfill on a whole worker adds to the logarithm."""
        fit = self._fit_by_image.get(service_image)
        return fit.coefficients.get(backfill_image, 0.0) if fit else 0.0

    def is_known(self, service_image: str, backfill_image: str) -> bool:
        """Return whether enough was seen of a pair to rely on its slope."""
        fit = self._fit_by_image.get(service_image)
        return fit is not None and fit.evidence(backfill_image) >= KNOWN_EVIDENCE

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

    def base(self, service_image: str) -> float:
        """Return the logarithm of a service's tail latency without backfill."""
        fit = self._fit_by_image.get(service_image)
        return fit.coefficients.get(BASE, 0.0) if fit else 0.0
