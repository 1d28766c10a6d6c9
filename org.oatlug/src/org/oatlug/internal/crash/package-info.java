// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Detection of requests that crash upstreams, shared by all instances. */
package org.oatlug.internal.crash;
