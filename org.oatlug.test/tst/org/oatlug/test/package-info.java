/** The tests of all modules. */
package org.oatlug.test;
