#include "FileFailures.h"
#include <LibLedger/DiskStore.h>
#include <LibLedger/FileOperations.h>
#include <LibLedger/Frame.h>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>

using namespace Sassafrasshift;
using namespace Sassafrasshift::Ledger;

struct Fixture {
    std::string folder;
    Random random { 1 };

    Fixture()
    {
        char pattern[] = "/tmp/sassafrasshift-store-XXXXXX";
        this->folder = mkdtemp(pattern);
    }

    ~Fixture() { std::filesystem::remove_all(this->folder); }

    std::unique_ptr<DiskStore> open()
    {
        auto store = DiskStore::open(this->folder, this->random);
        BOOST_REQUIRE(store.has_value());
        return std::move(store).value();
    }

    static std::vector<StoreOperation> append(Index from, size_t count, size_t bytes = 10)
    {
        AppendOperation operation;
        for (size_t i = 0; i < count; ++i)
            operation.entries.push_back({ 1, from + i, EntryKind::Command, std::string(bytes, 'x') });
        return { operation };
    }

    std::string segment() const
    {
        for (const auto& file : std::filesystem::directory_iterator(this->folder)) {
            if (file.path().filename().string().starts_with("log-"))
                return file.path();
        }
        return {};
    }

    // The offset of a frame in the segment, by its number starting at zero.
    size_t frameStart(size_t number) const
    {
        auto content = *readFile(this->segment());
        size_t offset = 0;
        for (size_t i = 0; i < number; ++i)
            offset += Frame::read(std::string_view(content).substr(offset)).size;
        return offset;
    }

    void overwrite(size_t offset, const std::string& bytes) const
    {
        std::fstream file(this->segment(), std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(static_cast<std::streamoff>(offset));
        file.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    }
};

BOOST_FIXTURE_TEST_CASE(identity_and_entries_survive_reopening, Fixture)
{
    auto identity = this->open()->identity();
    {
        auto store = this->open();
        BOOST_TEST(store->store(this->append(1, 3)).has_value());
        std::vector<StoreOperation> more { HardState { 4, "vote" }, TruncateOperation { 3 } };
        BOOST_TEST(store->store(more).has_value());
    }
    auto store = this->open();
    BOOST_TEST(store->identity() == identity);
    BOOST_TEST(store->recovered().entries.size() == 2U);
    BOOST_TEST(store->recovered().hardState.term == 4U);
}

BOOST_FIXTURE_TEST_CASE(snapshot_starts_a_segment_and_keeps_later_entries, Fixture)
{
    {
        auto store = this->open();
        BOOST_TEST(store->store(this->append(1, 5)).has_value());
        auto retained = std::get<AppendOperation>(this->append(4, 2).front()).entries;
        std::vector<StoreOperation> operations { SnapshotOperation { { 3, 1, {}, "state" }, { 1, "" }, retained } };
        BOOST_TEST(store->store(operations).has_value());
        BOOST_TEST(store->store(this->append(6, 1)).has_value());
    }
    auto store = this->open();
    BOOST_TEST(store->recovered().snapshot.state == "state");
    BOOST_TEST(store->recovered().entries.size() == 3U);
    BOOST_TEST(std::distance(std::filesystem::directory_iterator(this->folder), {}) == 2);
}

BOOST_FIXTURE_TEST_CASE(torn_last_frame_is_removed_at_every_length, Fixture)
{
    {
        auto store = this->open();
        BOOST_TEST(store->store(this->append(1, 1)).has_value());
        BOOST_TEST(store->store(this->append(2, 1)).has_value());
    }
    auto start = this->frameStart(2);
    auto content = *readFile(this->segment());
    auto size = Frame::read(std::string_view(content).substr(start)).size;
    for (size_t length = start; length < start + size; ++length) {
        std::filesystem::resize_file(this->segment(), length);
        BOOST_TEST(this->open()->recovered().entries.size() == 1U);
        std::ofstream(this->segment(), std::ios::binary) << content;
    }
    BOOST_TEST(this->open()->recovered().entries.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(damage_in_any_frame_is_refused, Fixture)
{
    {
        auto store = this->open();
        for (Index index = 1; index <= 4; ++index)
            BOOST_TEST(store->store(this->append(index, 1)).has_value());
    }
    auto content = *readFile(this->segment());
    // The last frame was written completely, so a changed byte in it is damage too, not a torn write.
    for (size_t frame = 0; frame <= 4; ++frame) {
        this->overwrite(this->frameStart(frame) + 20, "?");
        auto opened = DiskStore::open(this->folder, this->random);
        BOOST_REQUIRE(!opened.has_value());
        BOOST_TEST((opened.error().reason == Reason::Damaged));
        BOOST_TEST(opened.error().detail.find("new identity") != std::string::npos);
        std::ofstream(this->segment(), std::ios::binary) << content;
    }
}

BOOST_FIXTURE_TEST_CASE(zeroed_earlier_frame_is_damage, Fixture)
{
    {
        auto store = this->open();
        BOOST_TEST(store->store(this->append(1, 1)).has_value());
        BOOST_TEST(store->store(this->append(2, 1)).has_value());
    }
    auto start = this->frameStart(1);
    this->overwrite(start, std::string(this->frameStart(2) - start, '\0'));
    BOOST_TEST((DiskStore::open(this->folder, this->random).error().reason == Reason::Damaged));
}

BOOST_FIXTURE_TEST_CASE(full_disk_refuses_entries_until_space_is_free, Fixture)
{
    auto store = this->open();
    signal(SIGXFSZ, SIG_IGN);
    rlimit before {};
    getrlimit(RLIMIT_FSIZE, &before);
    rlimit small { 6 * 1024 * 1024, before.rlim_max };
    setrlimit(RLIMIT_FSIZE, &small);
    Index next = 1;
    ErrorOr<void> result;
    while ((result = store->store(this->append(next, 1, 1024 * 1024))).has_value())
        ++next;
    BOOST_TEST((result.error().reason == Reason::StorageFull));
    BOOST_TEST(next > 1U);
    setrlimit(RLIMIT_FSIZE, &before);
    BOOST_TEST(store->store(this->append(next, 1, 1024 * 1024)).has_value());
    store.reset();
    BOOST_TEST(this->open()->recovered().entries.size() == next);
}

BOOST_FIXTURE_TEST_CASE(write_without_space_is_refused_and_can_be_repeated, Fixture)
{
    auto store = this->open();
    signal(SIGXFSZ, SIG_IGN);
    BOOST_TEST(store->store(this->append(1, 1)).has_value());
    // The space is already preallocated, so only the write itself can fail.
    rlimit before {};
    getrlimit(RLIMIT_FSIZE, &before);
    rlimit none { this->frameStart(1), before.rlim_max };
    setrlimit(RLIMIT_FSIZE, &none);
    auto result = store->store(this->append(2, 1));
    setrlimit(RLIMIT_FSIZE, &before);
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().reason == Reason::StorageFull));
    BOOST_TEST(store->store(this->append(2, 1)).has_value());
    store.reset();
    BOOST_TEST(this->open()->recovered().entries.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(foreign_file_beside_the_segments_does_not_end_the_process, Fixture)
{
    this->open();
    for (const auto* name : { "/log-", "/log-copy", "/log-00000000000000000001.bak", "/log-99999999999999999999999", "/log-99999999999999999999" })
        std::ofstream(this->folder + name) << "x";
    auto reopened = this->open();
    BOOST_REQUIRE(reopened->store(this->append(1, 1)).has_value());
    reopened.reset();
    BOOST_TEST(this->open()->recovered().entries.size() == 1U);
}

// Guards against a process that ends again and again because it is started while its disk is full.
BOOST_FIXTURE_TEST_CASE(full_disk_at_start_is_told_from_a_failed_one, Fixture)
{
    {
        FileFailures failures;
        failures.syncCode = ENOSPC;
        BOOST_TEST((DiskStore::open(this->folder, this->random).error().reason == Reason::StorageFull));
    }
    BOOST_TEST(this->open()->store(this->append(1, 1)).has_value());
    {
        FileFailures failures;
        failures.truncateCode = ENOSPC;
        BOOST_TEST((DiskStore::open(this->folder, this->random).error().reason == Reason::StorageFull));
        failures.truncateCode = EIO;
        BOOST_TEST((DiskStore::open(this->folder, this->random).error().reason == Reason::StorageFailed));
    }
    BOOST_TEST(this->open()->recovered().entries.size() == 1U);
}

// Guards against a process that ends because the file system finds out only in a sync that the disk is full.
BOOST_FIXTURE_TEST_CASE(sync_without_space_can_be_repeated, Fixture)
{
    auto store = this->open();
    {
        FileFailures failures;
        failures.syncCode = ENOSPC;
        BOOST_TEST((store->store(this->append(1, 1)).error().reason == Reason::StorageFull));
    }
    BOOST_TEST(store->store(this->append(1, 1)).has_value());
    {
        FileFailures failures;
        failures.dataSyncCode = ENOSPC;
        BOOST_TEST((store->store(this->append(2, 1)).error().reason == Reason::StorageFull));
        failures.dataSyncCode = EIO;
        BOOST_TEST((store->store(this->append(2, 1)).error().reason == Reason::StorageFailed));
    }
    BOOST_TEST(store->store(this->append(2, 1)).has_value());
    store.reset();
    BOOST_TEST(this->open()->recovered().entries.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(short_writes_are_continued, Fixture)
{
    auto store = this->open();
    FileFailures failures;
    failures.maximumWrite = 7;
    BOOST_TEST(store->store(this->append(1, 3)).has_value());
    store.reset();
    BOOST_TEST(this->open()->recovered().entries.size() == 3U);
}

// Guards against a log that is cut, or an identity that is replaced, because the disk could not be read for a moment.
BOOST_FIXTURE_TEST_CASE(unreadable_disk_is_not_taken_for_an_empty_one, Fixture)
{
    auto identity = this->open()->identity();
    BOOST_TEST(this->open()->store(this->append(1, 1)).has_value());
    {
        FileFailures failures;
        failures.readCode = EIO;
        auto opened = DiskStore::open(this->folder, this->random);
        BOOST_REQUIRE(!opened.has_value());
        BOOST_TEST((opened.error().reason == Reason::StorageFailed));
    }
    BOOST_TEST(this->open()->identity() == identity);
    BOOST_TEST(this->open()->recovered().entries.size() == 1U);
}
