/** Value types shared by callers, operators and the other packages. */
package org.oatlug.api;
