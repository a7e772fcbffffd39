"""Responses that are common to several kinds of requests to the job API."""

from __future__ import annotations

from http import HTTPStatus

from petrelthread.http import Response, error_response

OUTAGE_RETRY_S = 1


def job_not_found() -> Response:
    """Return a 404 response: no job with this id was accepted."""
    return error_response(HTTPStatus.NOT_FOUND, "no such job")


def state_service_unreachable() -> Response:
    """Return a 503 response: the request needs the state service."""
    return error_response(
        HTTPStatus.SERVICE_UNAVAILABLE, "state service unreachable", OUTAGE_RETRY_S
    )
