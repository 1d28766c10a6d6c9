// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Tests of the rate limits and queues. */
package org.oatlug.internal.limit;
