// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Tests of the detection of requests that crash upstreams. */
package org.oatlug.internal.crash;
