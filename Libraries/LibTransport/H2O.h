#pragma once

// Includes the headers of the h2o HTTP library. They are written in C and cause warnings, which are disabled here.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#include <h2o.h>
#include <h2o/http1client.h>
#include <h2o/multithread.h>
#pragma GCC diagnostic pop
