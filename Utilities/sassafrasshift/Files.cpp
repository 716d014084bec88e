#include "Files.h"
#include <LibLedger/FileOperations.h>

namespace Sassafrasshift::CommandLine {

ErrorOr<std::vector<Catalog::SourceFile>> readSourceFiles(const std::vector<std::string>& paths)
{
    std::vector<Catalog::SourceFile> files;
    for (const auto& path : paths) {
        auto text = Ledger::readFile(path);
        if (!text)
            return tl::unexpected(Error::notRun(Reason::InvalidInput, "cannot read " + path));
        files.push_back({ path, std::move(*text) });
    }
    return files;
}

}
