// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Tests of what is learned of engines. */
package org.oatlug.internal.engine;
