"""Responses that several requests of the job API share."""

from __future__ import annotations

from http import HTTPStatus

from petrelthread.http import Response, error_response

OUTAGE_RETRY_S = 1


def job_not_found() -> Response:
    """The job was never accepted."""
    return error_response(HTTPStatus.NOT_FOUND, "no such job")


def state_service_unreachable() -> Response:
    """Nothing can be said for sure without the state service."""
    return error_response(
        HTTPStatus.SERVICE_UNAVAILABLE, "state service unreachable", OUTAGE_RETRY_S
    )
