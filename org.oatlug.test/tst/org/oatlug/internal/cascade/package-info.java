// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Tests of the choice of models. */
package org.oatlug.internal.cascade;
