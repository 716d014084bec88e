#include <LibBase/Try.h>
#include <LibLedger/DiskStore.h>
#include <LibLedger/FileOperations.h>
#include <LibLedger/Frame.h>
#include <LibTransport/Codec.h>
#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <optional>
#include <sys/file.h>
#include <unistd.h>

namespace Sassafrasshift::Ledger {

// Log space is preallocated in steps of this many bytes, so that a full disk is detected before a command is accepted.
static constexpr size_t preallocationStep = 4 * 1024 * 1024;
static constexpr std::string_view segmentPrefix = "log-";
static constexpr size_t segmentDigits = 20;

using OperationList = std::vector<StoreOperation>;

DiskStore::DiskStore(std::string folder)
    : folder(std::move(folder))
{
}

DiskStore::~DiskStore()
{
    if (this->descriptor >= 0)
        close(this->descriptor);
}

std::string DiskStore::segmentPath(uint64_t number) const
{
    auto digits = std::to_string(number);
    return this->folder + "/" + std::string(segmentPrefix) + std::string(segmentDigits - digits.size(), '0') + digits;
}

ErrorOr<std::unique_ptr<DiskStore>> DiskStore::open(const std::string& folder, Random& random)
{
    std::error_code code;
    std::filesystem::create_directories(folder, code);
    if (code)
        return tl::unexpected(storageError(code.value(), Verdict::NotRun, "cannot create data folder " + folder));
    std::unique_ptr<DiskStore> store(new DiskStore(folder));
    TRY_VOID(store->loadOrCreateIdentity(random));
    TRY_VOID(store->recover());
    return store;
}

ErrorOr<void> DiskStore::loadOrCreateIdentity(Random& random)
{
    auto path = this->folder + "/identity";
    auto content = readFile(path);
    if (content && content->size() == 32) {
        this->replicaIdentity = *content;
        return {};
    }
    if (content && !content->empty())
        return tl::unexpected(Error::notRun(Reason::Damaged, path + " does not contain a replica identity"));
    // A new identity may only be made where there has been none: the log on this disk belongs to the former one.
    if (!content && (access(path.c_str(), F_OK) == 0 || errno != ENOENT))
        return tl::unexpected(Error::notRun(Reason::StorageFailed, "cannot read " + path));
    this->replicaIdentity = makeRandomIdentity(random);
    return replaceFile(path, this->replicaIdentity);
}

// Returns nothing for a file that is no segment, such as a temporary file or an operator's copy of a segment.
static std::optional<uint64_t> parseSegmentNumber(std::string_view fileName)
{
    if (!fileName.starts_with(segmentPrefix))
        return {};
    auto digits = fileName.substr(segmentPrefix.size());
    uint64_t number = 0;
    auto [end, code] = std::from_chars(digits.begin(), digits.end(), number);
    if (digits.size() != segmentDigits || code != std::errc {} || end != digits.end())
        return {};
    return number;
}

static ErrorOr<std::vector<uint64_t>> listSegments(const std::string& folder)
{
    std::vector<uint64_t> numbers;
    std::error_code code;
    for (std::filesystem::directory_iterator file(folder, code), end; !code && file != end; file.increment(code)) {
        if (auto number = parseSegmentNumber(file->path().filename().string()))
            numbers.push_back(*number);
    }
    // An incomplete list must not pass for an empty folder, in which a new log would be started.
    if (code)
        return tl::unexpected(Error::notRun(Reason::StorageFailed, "cannot list " + folder + ": " + code.message()));
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

ErrorOr<void> DiskStore::recover()
{
    auto segments = TRY(listSegments(this->folder));
    if (segments.empty())
        return this->startSegment({});
    // A segment is renamed to its final name only after its first frame is durable, so the latest segment always contains a
    // complete state.
    this->segmentNumber = segments.back();
    auto path = this->segmentPath(this->segmentNumber);
    auto content = readFile(path);
    if (!content)
        return tl::unexpected(Error::notRun(Reason::StorageFailed, "cannot read " + path));
    TRY_VOID(this->replay(*content, this->writeOffset));
    this->descriptor = ::open(path.c_str(), O_RDWR | O_CLOEXEC);
    // Truncating the file removes the remains of an incomplete frame. When the file is extended again, that range reads as zeros.
    if (this->descriptor < 0 || ftruncate(this->descriptor, static_cast<off_t>(this->writeOffset)) != 0 || fsync(this->descriptor) != 0)
        return tl::unexpected(storageError(errno, Verdict::NotRun, "cannot open " + path));
    this->allocatedBytes = this->writeOffset;
    this->removeSegmentsBefore(this->segmentNumber);
    return {};
}

ErrorOr<void> DiskStore::replay(const std::string& bytes, size_t& validByteCount)
{
    size_t offset = 0;
    auto damaged = [&](std::string_view what) {
        return tl::unexpected(Error::notRun(Reason::Damaged, this->segmentPath(this->segmentNumber) + ": " + std::string(what) + " at byte " + std::to_string(offset) + "; move the data folder away and restart the process, so that this host joins with a new identity"));
    };
    while (offset < bytes.size()) {
        auto rest = std::string_view(bytes).substr(offset);
        auto frame = Frame::read(rest);
        if (frame.condition == Frame::Condition::End)
            break;
        if (frame.condition == Frame::Condition::Damaged)
            return damaged("damaged frame");
        if (frame.condition == Frame::Condition::Torn) {
            if (offset == 0 || Frame::hasLaterValidFrame(rest))
                return damaged("incomplete frame where a complete one is required");
            break;
        }
        auto operations = Transport::decodeValue<OperationList>(frame.payload);
        if (!operations)
            return damaged("frame that cannot be decoded");
        for (const auto& operation : *operations)
            applyOperation(this->recoveredState, operation);
        offset += frame.size;
    }
    validByteCount = offset;
    return {};
}

void applyOperation(StoredState& state, const StoreOperation& operation)
{
    struct Visitor {
        StoredState& state;

        void operator()(const HardState& hardState) const { this->state.hardState = hardState; }

        void operator()(const TruncateOperation& truncate) const
        {
            while (!this->state.entries.empty() && this->state.entries.back().index >= truncate.from)
                this->state.entries.pop_back();
        }

        void operator()(const AppendOperation& append) const
        {
            this->state.entries.insert(this->state.entries.end(), append.entries.begin(), append.entries.end());
        }

        void operator()(const SnapshotOperation& snapshot) const
        {
            this->state = StoredState { snapshot.snapshot, snapshot.hardState, snapshot.retained };
        }
    };
    std::visit(Visitor { state }, operation);
}

ErrorOr<void> DiskStore::startSegment(const SnapshotOperation& base)
{
    OperationList operations { base };
    auto frame = Frame::encode(Transport::encodeValue(operations));
    auto number = this->segmentNumber + 1;
    TRY_VOID(replaceFile(this->segmentPath(number), frame));
    int newDescriptor = ::open(this->segmentPath(number).c_str(), O_RDWR | O_CLOEXEC);
    if (newDescriptor < 0)
        return tl::unexpected(Error::notRun(Reason::StorageFailed, "cannot open a new log segment: " + std::string(std::strerror(errno))));
    if (this->descriptor >= 0)
        close(this->descriptor);
    this->descriptor = newDescriptor;
    this->segmentNumber = number;
    this->writeOffset = frame.size();
    this->allocatedBytes = frame.size();
    this->writtenByteCount += frame.size();
    this->removeSegmentsBefore(number);
    return {};
}

void DiskStore::removeSegmentsBefore(uint64_t number)
{
    auto segments = listSegments(this->folder);
    if (!segments)
        return;
    for (auto segment : *segments) {
        if (segment < number)
            unlink(this->segmentPath(segment).c_str());
    }
}

ErrorOr<void> DiskStore::preallocate(size_t bytes)
{
    if (this->writeOffset + bytes <= this->allocatedBytes)
        return {};
    auto target = this->writeOffset + bytes + preallocationStep;
    int code = posix_fallocate(this->descriptor, static_cast<off_t>(this->allocatedBytes), static_cast<off_t>(target - this->allocatedBytes));
    if (code != 0)
        return tl::unexpected(storageError(code, Verdict::MayHaveRun, "cannot extend the log"));
    // The new file size is synced once here, so that the fdatasync of each batch need not write metadata.
    if (fsync(this->descriptor) != 0)
        return tl::unexpected(storageError(errno, Verdict::MayHaveRun, "cannot sync the log"));
    this->allocatedBytes = target;
    return {};
}

ErrorOr<void> DiskStore::appendFrame(const std::string& payload)
{
    auto frame = Frame::encode(payload);
    TRY_VOID(this->preallocate(frame.size()));
    size_t written = 0;
    while (written < frame.size()) {
        auto count = pwrite(this->descriptor, frame.data() + written, frame.size() - written, static_cast<off_t>(this->writeOffset + written));
        if (count < 0 && errno == EINTR)
            continue;
        // The part of the frame that was written lies beyond the end of the log; the next attempt overwrites it.
        if (count <= 0)
            return tl::unexpected(storageError(count < 0 ? errno : EIO, Verdict::MayHaveRun, "cannot write the log"));
        written += static_cast<size_t>(count);
    }
    // A file system may find out only here that it has no space. The next attempt writes the whole frame again, so that it does
    // not depend on what the failed sync has left in the cache.
    if (fdatasync(this->descriptor) != 0)
        return tl::unexpected(storageError(errno, Verdict::MayHaveRun, "cannot sync the log"));
    this->writeOffset += frame.size();
    this->writtenByteCount += frame.size();
    return {};
}

ErrorOr<void> DiskStore::store(std::span<const StoreOperation> operations)
{
    // A snapshot replaces everything before it, so only the last snapshot of the batch starts a new segment.
    auto isSnapshot = [](const auto& operation) { return std::holds_alternative<SnapshotOperation>(operation); };
    auto last = std::find_if(operations.rbegin(), operations.rend(), isSnapshot);
    if (last != operations.rend()) {
        TRY_VOID(this->startSegment(std::get<SnapshotOperation>(*last)));
        operations = operations.subspan(static_cast<size_t>(operations.rend() - last));
    }
    if (operations.empty())
        return {};
    return this->appendFrame(Transport::encodeValue(OperationList(operations.begin(), operations.end())));
}

}
