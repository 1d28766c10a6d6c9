// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Tests of the clients of upstreams and of the estimates of prefill times. */
package org.oatlug.internal.engine;
