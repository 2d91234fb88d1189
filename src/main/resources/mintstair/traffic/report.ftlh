<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${title}</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #aaa; padding: 0.3em 0.6em; text-align: right; }
td:first-child, th:first-child { text-align: left; }
</style>
</head>
<body>
<h1>${title}</h1>
<p>${pairs} requests are in both.</p>
<table>
<tr><th rowspan="2">class</th><th rowspan="2">same</th><th rowspan="2">other answer</th><th rowspan="2">other value</th><th rowspan="2">only first</th><th rowspan="2">only second</th>
<th colspan="${percentiles?size}">first, ms</th><th colspan="${percentiles?size}">second, ms</th></tr>
<tr><#list 1..2 as side><#list percentiles as p><th>p${p}</th></#list></#list></tr>
<#list rows as row>
<tr><td>${row.name()}</td><td>${row.same()}</td><td>${row.answer()}</td><td>${row.value()}</td><td>${row.onlyFirst()}</td><td>${row.onlySecond()}</td>
<#list row.first() as ms><td>${ms?string["0.00"]}</td></#list><#list row.second() as ms><td>${ms?string["0.00"]}</td></#list></tr>
</#list>
</table>
<#list charts as chart>
<p><img src="data:image/png;base64,${chart}" alt="chart"></p>
</#list>
<#if divergences?size gt 0>
<h2>The first divergence of each kind</h2>
<ul>
<#list divergences as words>
<li>${words}</li>
</#list>
</ul>
</#if>
</body>
</html>
