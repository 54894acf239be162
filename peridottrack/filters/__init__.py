"""The filter chain of requests, in the order in which a request passes it.

1. `route.RouteFilter`: finds the request's route in the document.
2. `deadline.deadline_filter`: bounds the time that the request may take.
3. `body.body_filter`: reads a body that is small enough to be sent twice.
4. `admission.AdmissionFilter`: refuses early what this node cannot do in time.
5. `hold.HoldFilter`: holds off requests that made instances crash.
6. `claim.ClaimFilter`: claims keyed calls at most once.
7. `retry.RetryFilter`: sends idempotent or not-run requests again, and hedges.
8. `choice.ChoiceFilter`: chooses an instance, waiting for room if need be.
9. `dispatch.Dispatcher`: sends the request and reads the answer.
"""
