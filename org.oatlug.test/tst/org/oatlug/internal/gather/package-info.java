// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Tests of what instances tell each other through collectors. */
package org.oatlug.internal.gather;
