#pragma once

#include <cstddef>

namespace Sassafrasshift::Ledger {

/// Makes file operations of this test program fail, while the object exists. The linker redirects the operations here.
struct FileFailures {
    FileFailures();
    ~FileFailures();
    FileFailures(const FileFailures&) = delete;
    FileFailures& operator=(const FileFailures&) = delete;

    // The error that each call returns, or zero.
    int readCode { 0 };
    int truncateCode { 0 };
    int syncCode { 0 };
    int dataSyncCode { 0 };
    /// The largest number of bytes that one write takes; zero for any number.
    size_t maximumWrite { 0 };
};

}
