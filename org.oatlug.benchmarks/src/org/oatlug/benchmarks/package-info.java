/** Measurements of the real decision code: the policy bench, the capacity slopes and JMH. */
package org.oatlug.benchmarks;
