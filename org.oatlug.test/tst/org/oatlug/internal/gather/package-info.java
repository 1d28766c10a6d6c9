// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Tests of the state exchange between instances through collectors. */
package org.oatlug.internal.gather;
