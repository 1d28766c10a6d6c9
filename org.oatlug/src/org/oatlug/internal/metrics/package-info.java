/** Counters and timers of an instance. */
package org.oatlug.internal.metrics;
