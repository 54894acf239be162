"""The filter chain, in the order in which a request passes through it.

1. `route.RouteFilter`: finds the request's route in the document.
2. `deadline.deadline_filter`: enforces the deadline of the request.
3. `body.body_filter`: buffers a body that is small enough to be sent again.
4. `admission.AdmissionFilter`: rejects calls that would miss their deadline.
5. `quarantine.QuarantineFilter`: rejects poison requests, which crashed instances.
6. `claim.ClaimFilter`: claims keyed calls, so that each runs at most once.
7. `retry.RetryFilter`: retries idempotent or not-run requests, and hedges.
8. `choice.ChoiceFilter`: chooses an instance; waits for free capacity if necessary.
9. `dispatch.Dispatcher`: sends the request and reads the response.
"""
