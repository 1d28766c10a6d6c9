// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/**
 * How instances tell each other what each of them sees: through a collector in each availability
 * zone, which adds up its zone and tells the collectors of the others.
 */
package org.oatlug.internal.gather;
