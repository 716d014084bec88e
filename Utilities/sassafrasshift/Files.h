#pragma once

#include <LibBase/Error.h>
#include <LibCatalog/Catalog.h>
#include <string>
#include <vector>

namespace Sassafrasshift::CommandLine {

/// Reads whole files into memory. Fails with Reason::InvalidInput and the path of the first file that cannot be read.
[[nodiscard]] ErrorOr<std::vector<Catalog::SourceFile>> readSourceFiles(const std::vector<std::string>& paths);

}
