// HTTP status codes used by more than one module (RFC 9110).
#pragma once

namespace lovagerail {

inline constexpr int statusOk = 200;
inline constexpr int statusAccepted = 202;
inline constexpr int statusBadRequest = 400;
inline constexpr int statusUnauthorized = 401;
inline constexpr int statusForbidden = 403;
inline constexpr int statusNotFound = 404;
inline constexpr int statusRequestTimeout = 408;
inline constexpr int statusConflict = 409;
inline constexpr int statusGone = 410;
inline constexpr int statusPreconditionFailed = 412;
inline constexpr int statusContentTooLarge = 413;
inline constexpr int statusMisdirectedRequest = 421;
inline constexpr int statusUnprocessableContent = 422;
inline constexpr int statusTooManyRequests = 429;
inline constexpr int statusServerError = 500;
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusTimeout = 504;

} // namespace lovagerail
