#pragma once

/// \file
/// \brief HTTP client and server for the connections to callers, workers and the platform.

#include <poplarpass/net/constants.h>
#include <poplarpass/net/http_client.h>
#include <poplarpass/net/http_message.h>
#include <poplarpass/net/http_server.h>
