/// \file
/// The error type, a `std::error_code` with the step and the peer that failed, and the result type.
#ifndef RAGWORTCART_SUPPORT_ERROR_H
#define RAGWORTCART_SUPPORT_ERROR_H

#include <cassert>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace ragwort {

/// Error conditions that callers of the libraries can distinguish.
enum class Errc {
    ok = 0,
    malformedInput,
    unknownTeam,
    unknownKind,
    invalidDeadline,
    missingIdempotencyKey,
    refusedByAdmission,
    storeUnavailable,
    conflict,
    notFound,
    connectFailed,
    connectionLost,
    timeout,
    refusedByServer,
    snapshotGone,
    shuttingDown,
    protocolViolation,
    /// The store no longer has the revision from which a watch is to resume.
    historyGone,
};

const std::error_category &ragwortCategory();

inline std::error_code make_error_code(Errc code) // NOLINT(readability-identifier-naming): the name is prescribed by <system_error>.
{
    return {static_cast<int>(code), ragwortCategory()};
}

/// An error condition with its context.
struct Error
{
    std::error_code code;
    /// The operation that failed, for example "claim" or "connect".
    std::string step;
    /// The remote address or the file name; empty if not applicable.
    std::string peer;
    std::string detail;

    /// Returns the message of the code, followed by the other members as key=value pairs; omits empty members.
    std::string describe() const;
};

/// Holds either a value or an `Error`.
template <typename Value>
class Result
{
public:
    Result(Value value) // NOLINT: implicit, so that functions can return a value directly.
        : state(std::move(value))
    {
    }
    Result(Error error) // NOLINT: implicit, so that functions can return an error directly.
        : state(std::move(error))
    {
    }

    explicit operator bool() const
    {
        return std::holds_alternative<Value>(this->state);
    }
    const Value &operator*() const
    {
        assert(*this && "dereferenced a failed result");
        return std::get<Value>(this->state);
    }
    Value &operator*()
    {
        assert(*this && "dereferenced a failed result");
        return std::get<Value>(this->state);
    }
    const Value *operator->() const
    {
        return &**this;
    }
    Value *operator->()
    {
        return &**this;
    }
    const Error &error() const
    {
        assert(!*this && "a successful result has no error");
        return std::get<Error>(this->state);
    }

private:
    std::variant<Value, Error> state;
};

} // namespace ragwort

template <>
struct std::is_error_code_enum<ragwort::Errc> : std::true_type
{
};

#endif
