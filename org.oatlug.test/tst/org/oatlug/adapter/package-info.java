// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Tests of the adapter of the users' platform. */
package org.oatlug.adapter;
