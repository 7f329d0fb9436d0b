'use strict';
/* The console works without this file.  It adds a filter to long tables, asks
 * before an entry is removed, and warns before typed text is lost. */
(function () {
	const LONG_TABLE_ROWS = 10;
	let submitting = false;
	let typed = false;

	function addFilter(table) {
		const rows = Array.from(table.tBodies[0].rows);
		if (rows.length < LONG_TABLE_ROWS)
			return;
		const input = document.createElement('input');
		input.type = 'search';
		input.className = 'filter';
		input.placeholder = 'Filter';
		input.setAttribute('aria-label', 'Filter this table');
		input.addEventListener('input', function () {
			const wanted = input.value.toLowerCase();
			rows.forEach(function (row) {
				row.hidden = !row.textContent.toLowerCase().includes(wanted);
			});
		});
		input.addEventListener('keydown', function (event) {
			if (event.key === 'Enter')
				event.preventDefault();
		});
		table.parentNode.before(input);
	}

	document.querySelectorAll('table.entries').forEach(addFilter);
	document.querySelectorAll('form').forEach(function (form) {
		form.addEventListener('input', function (event) {
			typed = typed || event.target.className !== 'filter';
		});
		form.addEventListener('submit', function (event) {
			const button = event.submitter;
			if (button && button.value.startsWith('remove ') &&
			    !window.confirm('Remove this entry from the draft?')) {
				event.preventDefault();
				return;
			}
			submitting = true;
		});
	});
	window.addEventListener('beforeunload', function (event) {
		const changes = document.querySelector('input[name=changes]');
		const drafted = changes && changes.value !== '[]';
		if (!submitting && (typed || drafted))
			event.preventDefault();
	});
}());
