/// \file
/// Errors of the system: a `std::error_code` with the step and the peer at which it arose, and a result type.
#ifndef RAGWORTCART_SUPPORT_ERROR_H
#define RAGWORTCART_SUPPORT_ERROR_H

#include <cassert>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace ragwort {

/// Conditions that callers of our libraries can tell apart.
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
    /// The store has discarded the history from which a watch was to continue.
    historyGone,
};

const std::error_category &ragwortCategory();

inline std::error_code make_error_code(Errc code) // NOLINT(readability-identifier-naming): the name is prescribed by <system_error>.
{
    return {static_cast<int>(code), ragwortCategory()};
}

/// An error with the place where it arose.
struct Error
{
    std::error_code code;
    /// The step of the work, for example "claim" or "connect".
    std::string step;
    /// The other end, for example an address or a file name; empty when there is none.
    std::string peer;
    std::string detail;

    /// One readable line with all four parts.
    std::string describe() const;
};

/// Either a value or an `Error`.
template <typename Value>
class Result
{
public:
    Result(Value value) // NOLINT: implicit so that functions can return a value directly.
        : state(std::move(value))
    {
    }
    Result(Error error) // NOLINT: implicit so that functions can return an error directly.
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
