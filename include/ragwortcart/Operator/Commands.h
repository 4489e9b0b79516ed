/// \file
/// The commands of `ragwortctl`.
#ifndef RAGWORTCART_OPERATOR_COMMANDS_H
#define RAGWORTCART_OPERATOR_COMMANDS_H

#include "ragwortcart/Support/Clock.h"

#include <cstdint>
#include <span>
#include <string>

namespace ragwort {

/// Exit codes of `ragwortctl`, in addition to 0 and 2 (invalid input).
/// The store or a file could not be read or written.
inline constexpr int EXIT_FAILED = 1;
/// The document has changed since the base sequence of the change.
inline constexpr int EXIT_CONFLICT = 3;
/// An entry instance is unreachable or not ready, or a change was not in force at all entry instances in time.
inline constexpr int EXIT_NOT_CONFIRMED = 4;

struct CommandOptions
{
    std::string platformAddress;
    /// Sequence number on which the operator's change is based.
    std::uint64_t basedOn = 0;
    bool wait = false;
    Duration waitTimeout = std::chrono::seconds(10);
    /// Limit for entry instances in a tier document that the command creates.
    int maximumInstances = 8;
};

/// Runs one command with its arguments and returns the exit code.
int runCommand(std::span<const std::string> arguments, const CommandOptions &options);

/// Returns the usage text, one line per command.
std::string commandHelp();

} // namespace ragwort

#endif
