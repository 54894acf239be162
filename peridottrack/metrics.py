"""Prometheus metrics of one node."""

from __future__ import annotations

from functools import cache

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)


class Metrics:
    """All metrics of a node, in its own registry so that one process can run several nodes."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.calls = Counter(
            "peridottrack_calls",
            "Calls answered, by service and outcome (an error kind, or ok).",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.call_seconds = Histogram(
            "peridottrack_call_seconds",
            "Time from the request's headers to the answer's end.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.attempts = Counter(
            "peridottrack_attempts",
            "Requests sent to an upstream, by service and reason (first, retry, hedge).",
            ["service", "reason"],
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "peridottrack_in_flight_calls",
            "Calls that this node is working on.",
            registry=self.registry,
        )
        self.queued = Gauge(
            "peridottrack_queued_calls",
            "Calls that wait for a slot, by service.",
            ["service"],
            registry=self.registry,
        )
        self.measuring_messages = Counter(
            "peridottrack_measuring_messages",
            "Datagrams spent on measuring load, by fate (sent, withheld).",
            ["fate"],
            registry=self.registry,
        )
        self.measuring_bytes = Counter(
            "peridottrack_measuring_bytes",
            "Bytes spent on measuring load, headers included.",
            registry=self.registry,
        )
        self.measuring_limit_bytes = Gauge(
            "peridottrack_measuring_limit_bytes_per_second",
            "Limit of the measuring budget.",
            registry=self.registry,
        )
        self.control_bytes = Counter(
            "peridottrack_control_bytes",
            "Bytes of all datagrams between nodes, headers included, by direction.",
            ["direction"],
            registry=self.registry,
        )
        self.datagrams_rejected = Counter(
            "peridottrack_datagrams_rejected",
            "Datagrams dropped, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.members = Gauge(
            "peridottrack_members",
            "Nodes known, by state.",
            ["state"],
            registry=self.registry,
        )
        self.document_version = Gauge(
            "peridottrack_document_version",
            "Version of the document in force here.",
            registry=self.registry,
        )
        self.document_age_seconds = Gauge(
            "peridottrack_document_confirmed_age_seconds",
            "Time since the table last confirmed the version.",
            registry=self.registry,
        )
        self.evacuated_domains = Gauge(
            "peridottrack_evacuated_domains",
            "Failure domains that operators have evacuated, as known here.",
            registry=self.registry,
        )
        self.instance_cold = Gauge(
            "peridottrack_instance_cold",
            "1 while the local instance gets only the requests that it takes cold, else 0.",
            registry=self.registry,
        )
        self.claims = Counter(
            "peridottrack_claims",
            "Claims by result (granted, held, refused, unsettled, voided, recorded).",
            ["result"],
            registry=self.registry,
        )
        self.store_calls = Counter(
            "peridottrack_store_calls",
            "Calls to the platform's store, by operation and outcome.",
            ["operation", "outcome"],
            registry=self.registry,
        )
        self.ejected = Gauge(
            "peridottrack_instances_set_aside",
            "Instances that get no ordinary calls for now, by service.",
            ["service"],
            registry=self.registry,
        )
        self.quarantined = Counter(
            "peridottrack_requests_held_off",
            "Requests refused because their like made instances fail.",
            registry=self.registry,
        )

        self.quota_requests = Counter(
            "peridottrack_quota_requests",
            "Requests of limited accounts, by verdict (admitted, exceeded, unsettled).",
            ["verdict"],
            registry=self.registry,
        )
        self.quota_asks = Counter(
            "peridottrack_quota_asks",
            "Asks for quota tokens and renewals of loans sent.",
            registry=self.registry,
        )
        self.quota_lenders = Gauge(
            "peridottrack_quota_lenders",
            "Nodes that lend this node their share of quotas.",
            registry=self.registry,
        )
        self.second_sends = Counter(
            "peridottrack_second_sends",
            "Second sends of requests, by service and result (won, lost, failed, cancelled).",
            ["service", "result"],
            registry=self.registry,
        )
        self.second_sends_denied = Counter(
            "peridottrack_second_sends_denied",
            "Second sends not made, by service and reason.",
            ["service", "reason"],
            registry=self.registry,
        )

    @cache  # noqa: B019 - a node's metrics live as long as its process
    def call_outcome(self, service: str, outcome: str) -> Counter:
        """Return the counter of one service and outcome; cached, since the lookup is slow."""
        return self.calls.labels(service, outcome)

    @cache  # noqa: B019
    def call_duration(self, service: str) -> Histogram:
        """Return the histogram of one service."""
        return self.call_seconds.labels(service)

    @cache  # noqa: B019
    def attempt(self, service: str, reason: str) -> Counter:
        """Return the counter of attempts of one service for one reason."""
        return self.attempts.labels(service, reason)

    @cache  # noqa: B019
    def second_send(self, service: str, result: str) -> Counter:
        """Return the counter of second sends of one service and result."""
        return self.second_sends.labels(service, result)

    @cache  # noqa: B019
    def second_send_denied(self, service: str, reason: str) -> Counter:
        """Return the counter of second sends of one service that were not made for a reason."""
        return self.second_sends_denied.labels(service, reason)

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
