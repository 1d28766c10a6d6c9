// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Which requests upstreams end under, as all instances together have seen it. */
package org.oatlug.internal.crash;
