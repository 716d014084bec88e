#include "FileFailures.h"
#include <algorithm>
#include <cerrno>
#include <sys/types.h>
#include <unistd.h>

namespace Sassafrasshift::Ledger {

static FileFailures* currentFailures = nullptr;

FileFailures::FileFailures()
{
    currentFailures = this;
}

FileFailures::~FileFailures()
{
    currentFailures = nullptr;
}

static bool failsWith(int FileFailures::*code)
{
    if (!currentFailures || currentFailures->*code == 0)
        return false;
    errno = currentFailures->*code;
    return true;
}

}

using Sassafrasshift::Ledger::currentFailures;
using Sassafrasshift::Ledger::failsWith;
using Sassafrasshift::Ledger::FileFailures;

extern "C" {

ssize_t originalRead(int, void*, size_t) asm("__real_read");
ssize_t redirectedRead(int, void*, size_t) asm("__wrap_read");
int originalTruncate(int, off_t) asm("__real_ftruncate");
int redirectedTruncate(int, off_t) asm("__wrap_ftruncate");
int originalSync(int) asm("__real_fsync");
int redirectedSync(int) asm("__wrap_fsync");
int originalDataSync(int) asm("__real_fdatasync");
int redirectedDataSync(int) asm("__wrap_fdatasync");
ssize_t originalWriteAt(int, const void*, size_t, off_t) asm("__real_pwrite");
ssize_t redirectedWriteAt(int, const void*, size_t, off_t) asm("__wrap_pwrite");

ssize_t redirectedRead(int descriptor, void* buffer, size_t size)
{
    return failsWith(&FileFailures::readCode) ? -1 : originalRead(descriptor, buffer, size);
}

int redirectedTruncate(int descriptor, off_t length)
{
    return failsWith(&FileFailures::truncateCode) ? -1 : originalTruncate(descriptor, length);
}

int redirectedSync(int descriptor)
{
    return failsWith(&FileFailures::syncCode) ? -1 : originalSync(descriptor);
}

int redirectedDataSync(int descriptor)
{
    return failsWith(&FileFailures::dataSyncCode) ? -1 : originalDataSync(descriptor);
}

ssize_t redirectedWriteAt(int descriptor, const void* buffer, size_t size, off_t offset)
{
    if (currentFailures && currentFailures->maximumWrite > 0)
        size = std::min(size, currentFailures->maximumWrite);
    return originalWriteAt(descriptor, buffer, size, offset);
}
}
