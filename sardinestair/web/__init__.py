"""HTTP server: connections, routes, requests and responses."""

from sardinestair.web.app import Handler, Rule, WebApp, monitoring_rules
from sardinestair.web.memory import MemoryAccount, MemoryShare, ServerRole
from sardinestair.web.messages import (
    JSON_TYPE,
    PROBLEM_TYPE,
    Connection,
    Headers,
    Request,
    Response,
    json_response,
    problem_response,
    retry_after,
    status_response,
)
from sardinestair.web.server import HttpLimits, HttpServer

__all__ = [
    "JSON_TYPE",
    "PROBLEM_TYPE",
    "Connection",
    "ServerRole",
    "Handler",
    "Headers",
    "HttpLimits",
    "HttpServer",
    "MemoryAccount",
    "MemoryShare",
    "Request",
    "Response",
    "Rule",
    "WebApp",
    "json_response",
    "monitoring_rules",
    "problem_response",
    "retry_after",
    "status_response",
]
