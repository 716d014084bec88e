#pragma once

#include <LibBase/Error.h>
#include <optional>
#include <string>
#include <string_view>

namespace Sassafrasshift::Ledger {

/// The suffix of the temporary file that replaceFile() writes before renaming it.
inline constexpr std::string_view temporarySuffix = ".new";

/// Returns the complete content of a file, or nothing if the file cannot be opened or read.
[[nodiscard]] std::optional<std::string> readFile(const std::string& path);

/// The error for a failed file operation: Reason::StorageFull if the code says that there is no space, otherwise
/// Reason::StorageFailed.
[[nodiscard]] Error storageError(int code, Verdict, std::string_view action);

/// Replaces a file atomically and durably: after a crash it holds either the complete old or the complete new content. Fails
/// with Reason::StorageFull if the disk is full, and with Reason::StorageFailed for any other error.
[[nodiscard]] ErrorOr<void> replaceFile(const std::string& path, std::string_view content);

}
