// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Tests of the clients of the platform. */
package org.oatlug.internal.platform;
