#pragma once

// Includes the headers of the HTTP library, which are C and cause warnings of their own.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#include <h2o.h>
#include <h2o/http1client.h>
#include <h2o/multithread.h>
#pragma GCC diagnostic pop
