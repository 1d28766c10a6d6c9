// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/** Tests of forwarding between instances, in virtual time. */
package org.oatlug.internal.forward;
