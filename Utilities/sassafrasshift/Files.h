#pragma once

#include <LibBase/Error.h>
#include <LibCatalog/Catalog.h>
#include <string>
#include <vector>

namespace Sassafrasshift::CommandLine {

/// Reads files whole. Fails with Reason::InvalidInput and the name of the first that cannot be read.
[[nodiscard]] ErrorOr<std::vector<Catalog::SourceFile>> readSourceFiles(const std::vector<std::string>& paths);

}
