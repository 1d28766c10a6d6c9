// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Forwarding of requests to instances that reach a service which this instance does not. */
package org.oatlug.internal.forward;
