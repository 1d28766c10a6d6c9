/** Simulations of the external systems, for the demonstration and the tests only. */
package org.oatlug.standin;
