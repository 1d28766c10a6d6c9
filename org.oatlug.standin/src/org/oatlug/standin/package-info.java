/** Small stand-ins for the outside systems, for the demonstration and the tests only. */
package org.oatlug.standin;
