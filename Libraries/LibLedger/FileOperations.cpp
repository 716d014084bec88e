#include <LibLedger/FileOperations.h>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <unistd.h>

namespace Sassafrasshift::Ledger {

std::optional<std::string> readFile(const std::string& path)
{
    int descriptor = open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0)
        return std::nullopt;
    std::string content;
    std::array<char, 65'536> buffer;
    ssize_t count = 0;
    do {
        count = read(descriptor, buffer.data(), buffer.size());
        if (count > 0)
            content.append(buffer.data(), static_cast<size_t>(count));
    } while (count > 0 || (count < 0 && errno == EINTR));
    close(descriptor);
    if (count < 0)
        return std::nullopt;
    return content;
}

Error storageError(int code, Verdict verdict, std::string_view action)
{
    bool isFull = code == ENOSPC || code == EFBIG || code == EDQUOT;
    return Error { isFull ? Reason::StorageFull : Reason::StorageFailed, verdict, std::string(action) + ": " + std::strerror(code) };
}

static bool writeAll(int descriptor, std::string_view content)
{
    while (!content.empty()) {
        auto count = write(descriptor, content.data(), content.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        content.remove_prefix(static_cast<size_t>(count));
    }
    return true;
}

ErrorOr<void> replaceFile(const std::string& path, std::string_view content)
{
    auto temporary = path + std::string(temporarySuffix);
    int descriptor = open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    auto fail = [&](int code) {
        if (descriptor >= 0)
            close(descriptor);
        unlink(temporary.c_str());
        return tl::unexpected(storageError(code, Verdict::NotRun, "cannot write " + path));
    };
    if (descriptor < 0 || !writeAll(descriptor, content) || fsync(descriptor) != 0)
        return fail(errno);
    close(descriptor);
    descriptor = -1;
    if (std::rename(temporary.c_str(), path.c_str()) != 0)
        return fail(errno);
    auto folder = std::filesystem::path(path).parent_path().string();
    int folderDescriptor = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    bool synced = folderDescriptor >= 0 && fsync(folderDescriptor) == 0;
    if (folderDescriptor >= 0)
        close(folderDescriptor);
    if (!synced)
        return tl::unexpected(Error::mayHaveRun(Reason::StorageFailed, "cannot sync " + folder + ": " + std::strerror(errno)));
    return {};
}

}
