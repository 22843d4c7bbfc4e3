/**
 * The decisions of one node, and what stands between them and a machine.
 *
 * <p>News comes in through {@link lupinwood.admission.AdmissionPolicy} and {@link
 * lupinwood.admission.RequestListener}; what is decided leaves through {@link
 * lupinwood.admission.ServerActions}. Behind that {@link lupinwood.admission.AdmissionController}
 * shows the order of the checks, and each rule is a package-private class that says its inputs,
 * units, formula, reason and source. No I/O, no threads and no clock of its own: one thread owns
 * all of it, and time comes from the machine.
 */
package lupinwood.admission;
