"""The filter chain of requests, in the order in which a request passes it.

1. `route.RouteFilter`: reads the request and finds its route in the document.
2. `deadline.deadline_filter`: bounds the time that the request may take.
3. `admission.AdmissionFilter`: refuses early what this node cannot do in time.
4. `hold.HoldFilter`: holds off requests that made instances crash.
5. `claim.ClaimFilter`: claims keyed calls at most once.
6. `retry.RetryFilter`: sends idempotent or not-run requests again, and hedges.
7. `choice.ChoiceFilter`: chooses an instance, waiting for room if need be.
8. `dispatch.Dispatcher`: sends the request and reads the answer.
"""
