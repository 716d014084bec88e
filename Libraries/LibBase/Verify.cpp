#include <LibBase/Verify.h>
#include <cstdlib>
#include <iostream>

namespace Sassafrasshift {

static void reportAndAbort(const char* condition, const char* file, int line)
{
    std::cerr << "VERIFY failed: " << condition << " at " << file << ":" << line << std::endl;
    std::abort();
}

static VerificationHandler currentHandler = reportAndAbort;

void setVerificationHandler(VerificationHandler handler)
{
    currentHandler = handler;
}

void failVerification(const char* condition, const char* file, int line)
{
    currentHandler(condition, file, line);
    std::abort();
}

}
