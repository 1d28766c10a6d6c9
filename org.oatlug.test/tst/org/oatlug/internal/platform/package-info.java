// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Tests of what all calls of a platform have in common. */
package org.oatlug.internal.platform;
