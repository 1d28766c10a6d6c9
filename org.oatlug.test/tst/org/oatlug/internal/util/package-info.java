// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Tests of the helpers that several parts use. */
package org.oatlug.internal.util;
