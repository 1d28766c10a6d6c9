// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Tests of the selection of upstreams. */
package org.oatlug.internal.routing;
