/** Counters and timers. */
package org.oatlug.internal.metrics;
