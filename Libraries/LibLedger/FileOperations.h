#pragma once

#include <LibBase/Error.h>
#include <optional>
#include <string>
#include <string_view>

namespace Sassafrasshift::Ledger {

inline constexpr std::string_view temporarySuffix = ".new";

/// The whole content of a file, or nothing where it cannot be read.
[[nodiscard]] std::optional<std::string> readFile(const std::string& path);

/// Replaces a file durably: after a crash it holds either the old or the new content, whole.
[[nodiscard]] ErrorOr<void> replaceFile(const std::string& path, std::string_view content);

}
